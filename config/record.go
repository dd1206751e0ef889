package config

import (
	"encoding/json"

	"github.com/cicadadale/cicadadale/contract"
)

// EncodeRecord writes a record of the stream "config".
func EncodeRecord(r contract.ConfigRecord) ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads a record. A record that is malformed or holds both a change and a snapshot is empty, so that all
// readers skip it alike.
func DecodeRecord(data []byte) (contract.ConfigRecord, error) {
	var r contract.ConfigRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return contract.ConfigRecord{}, err
	}
	if r.Change != nil && r.Snapshot != nil {
		return contract.ConfigRecord{}, nil
	}
	return r, nil
}

// DecodeDocument reads a whole document as JSON.
func DecodeDocument(data []byte) (contract.ConfigDocument, error) {
	var d contract.ConfigDocument
	err := json.Unmarshal(data, &d)
	return d, err
}
