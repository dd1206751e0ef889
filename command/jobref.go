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

const keyUsage = "idempotency `KEY` as CUSTOMER/TEXT@TIME instead of an id, where TIME is its creation time in RFC 3339; " +
	"repeated calls must use the same time"

func keyFlag() cli.Flag { return &cli.StringFlag{Name: "key", Usage: keyUsage} }

// parseKey parses CUSTOMER/TEXT@TIME. The text may contain slashes and at signs.
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

// refArgument returns the job that a command names by its argument or by --key.
func refArgument(c *cli.Command) (contract.JobRef, error) {
	id := c.Args().First()
	if key := c.String("key"); key != "" {
		if id != "" {
			return contract.JobRef{}, errors.New("an id and --key are mutually exclusive")
		}
		k, err := parseKey(key)
		return contract.JobRef{Key: &k}, err
	}
	parsed, err := contract.ParseJobID(id)
	return contract.JobRef{ID: parsed}, err
}

// submitRef returns the key or id to submit under, or a fresh id if neither is given.
func submitRef(ctx context.Context, c *cli.Command, client *rpc.Client) (contract.JobRef, error) {
	id, key := c.String("id"), c.String("key")
	switch {
	case id != "" && key != "":
		return contract.JobRef{}, errors.New("--id and --key are mutually exclusive")
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
