package command

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/rpc"
)

const keyUsage = "caller's own `KEY` as CUSTOMER/TEXT@TIME in place of an id, with the time of its creation in RFC 3339; " +
	"repetitions must give the same time"

func keyFlag() cli.Flag { return &cli.StringFlag{Name: "key", Usage: keyUsage} }

// parseKey reads CUSTOMER/TEXT@TIME. The text may hold slashes and at signs.
func parseKey(s string) (contract.CallerKey, error) {
	customer, rest, ok := strings.Cut(s, "/")
	at := strings.LastIndex(rest, "@")
	if !ok || at < 0 || customer == "" || rest[:at] == "" {
		return contract.CallerKey{}, fmt.Errorf("key %q is not of the form CUSTOMER/TEXT@TIME", s)
	}
	created, err := time.Parse(time.RFC3339, rest[at+1:])
	if err != nil {
		return contract.CallerKey{}, fmt.Errorf("key %q: %w", s, err)
	}
	return contract.CallerKey{Customer: customer, Text: rest[:at], CreatedUnixMS: created.UnixMilli()}, nil
}

// refArgument reads the key or the job id that a command takes as its argument.
func refArgument(c *cli.Command) (contract.JobRef, error) {
	id := c.Args().First()
	if key := c.String("key"); key != "" {
		if id != "" {
			return contract.JobRef{}, errors.New("give either an id or --key")
		}
		k, err := parseKey(key)
		return contract.JobRef{Key: &k}, err
	}
	parsed, err := contract.ParseJobID(id)
	return contract.JobRef{ID: parsed}, err
}

// submitRef returns the key or the id to submit under, a fresh id if neither is given.
func submitRef(ctx context.Context, c *cli.Command, client *rpc.Client) (contract.JobRef, error) {
	id, key := c.String("id"), c.String("key")
	switch {
	case id != "" && key != "":
		return contract.JobRef{}, errors.New("give either --id or --key")
	case key != "":
		k, err := parseKey(key)
		return contract.JobRef{Key: &k}, err
	case id != "":
		parsed, err := contract.ParseJobID(id)
		return contract.JobRef{ID: parsed}, err
	default:
		fresh, err := client.NewJob(ctx)
		return contract.JobRef{ID: fresh}, err
	}
}
