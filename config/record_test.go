package config

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// Guards against a decoder or check that panics on a record, and against accepting one that cannot be encoded again.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"change":{"id":"i","author":"a","base":1,"patch":{"customers":{"c":{"weight":2},"d":null}}}}`))
	f.Add([]byte(`{"snapshot":{"next":4,"revision":2,"document":{"kinds":{"s/k":{"class":"long"}}}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		if err != nil {
			return
		}
		again, err := EncodeRecord(r)
		require.NoError(t, err)
		_, err = DecodeRecord(again)
		require.NoError(t, err)
		if r.Change != nil {
			Check(contract.ConfigDocument{}.Patched(r.Change.Patch))
		}
	})
}

// Guards against validation that stops at the first fault or does not report its position.
func TestCheckCollectsAllFindings(t *testing.T) {
	found := Check(contract.ConfigDocument{
		Services:  map[string]contract.ServiceConfig{"a.proto": {Schema: "syntax = \"proto3\";\nservice X { rpc }"}},
		Kinds:     map[string]contract.KindConfig{"s/k": {Class: "medium", DeadlineMS: -1}},
		Customers: map[string]contract.CustomerConfig{"c": {Weight: 0}},
		Teams:     map[string]contract.TeamConfig{"d/t": {Slots: -1}, "x": {}},
	})
	require.Len(t, found, 7, "%q", found)
	require.Contains(t, found[0], "services.a.proto:2: ")
}
