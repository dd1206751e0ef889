package timeline

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
)

// collectTimeout bounds the request to one process.
const collectTimeout = 10 * time.Second

// Collector fetches the parts of a timeline from several processes.
type Collector struct {
	client *client.Client
}

// NewCollector returns a collector with the given timeout for opening a connection.
func NewCollector(dialTimeout time.Duration) (*Collector, error) {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(dialTimeout))
	if err != nil {
		return nil, err
	}
	return &Collector{client: c}, nil
}

// Collect queries all addresses concurrently. An unreachable process yields a part with an error.
func (c *Collector) Collect(ctx context.Context, addresses []string, f Filter) []Part {
	parts := make([]Part, len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() {
			var p Part
			if err := c.get(ctx, a, "/events?"+f.Query().Encode(), &p); err != nil {
				p = Part{Error: err.Error()}
			}
			p.Source = a
			parts[i] = p
		})
	}
	wg.Wait()
	return parts
}

// WorkerAddresses returns the addresses of the workers that the entry VMs know. Unreachable entry VMs are skipped,
// because Collect reports them.
func (c *Collector) WorkerAddresses(ctx context.Context, admin []string) []string {
	seen := map[string]bool{}
	var out []string
	for _, a := range admin {
		var workers []struct {
			Address string `json:"address"`
		}
		if err := c.get(ctx, a, "/state/workers", &workers); err != nil {
			continue
		}
		for _, w := range workers {
			if !seen[w.Address] {
				seen[w.Address] = true
				out = append(out, w.Address)
			}
		}
	}
	return out
}

func (c *Collector) get(ctx context.Context, address, path string, into any) error {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(http.MethodGet)
	req.SetRequestURI("http://" + address + path)
	if err := c.client.DoTimeout(ctx, req, resp, collectTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return json.Unmarshal(resp.Body(), into)
}
