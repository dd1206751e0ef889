package config

import (
	"encoding/json"

	"github.com/cicadadale/cicadadale/contract"
)

// EncodeRecord encodes a record of the "config" stream.
func EncodeRecord(r contract.ConfigRecord) ([]byte, error) { return json.Marshal(r) }

// DecodeRecord decodes a record. A record that is malformed or holds both a change and a snapshot is returned empty, so
// that all readers skip it.
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

// DecodeDocument decodes a complete document from JSON.
func DecodeDocument(data []byte) (contract.ConfigDocument, error) {
	var d contract.ConfigDocument
	err := json.Unmarshal(data, &d)
	return d, err
}
