package entry

import (
	"encoding/json"

	"github.com/cicadadale/cicadadale/contract"
)

// maxClaimBatch is the maximum number of claims in a batch. A record stays under 1 MiB with the longest keys.
const maxClaimBatch = 512

type batchRecord struct {
	ID     string        `json:"batch"`
	Claims []claimRecord `json:"claims"`
}

type claimRecord struct {
	Customer string `json:"customer"`
	Text     string `json:"text"`
	Created  int64  `json:"created_unix_ms"`
	Job      string `json:"job"`
}

func encodeBatch(b contract.ClaimBatch) ([]byte, error) {
	r := batchRecord{ID: b.ID, Claims: make([]claimRecord, len(b.Claims))}
	for i, c := range b.Claims {
		r.Claims[i] = claimRecord{
			Customer: c.Key.Customer, Text: c.Key.Text, Created: c.Key.CreatedUnixMS, Job: c.Job.String(),
		}
	}
	return json.Marshal(r)
}

// decodeBatch decodes a record. Every reader skips claims without a valid key or job id, so all reach the same
// decisions.
func decodeBatch(data []byte) (contract.ClaimBatch, error) {
	var r batchRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return contract.ClaimBatch{}, err
	}
	b := contract.ClaimBatch{ID: r.ID}
	for _, c := range r.Claims {
		id, err := contract.ParseJobID(c.Job)
		if err != nil || c.Customer == "" || c.Text == "" {
			continue
		}
		key := contract.CallerKey{Customer: c.Customer, Text: c.Text, CreatedUnixMS: c.Created}
		b.Claims = append(b.Claims, contract.Claim{Key: key, Job: id})
	}
	return b, nil
}
