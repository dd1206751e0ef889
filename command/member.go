package command

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
)

var errMembersUnread = errors.New("the store has not answered in time")

func memberCommand() *cli.Command {
	return &cli.Command{
		Name:  "member",
		Usage: "list the edge daemons that the platform's store names, and remove those that are gone for good",
		Description: "Jobs depend on a majority of the listed daemons. Daemons remove members that have been silent for two " +
			"minutes, unless they are no majority themselves: after the loss of half of the VMs for good, declare them gone " +
			"here. Daemons that are removed without --gone count until a majority of the list before has read the new one; " +
			"those that are gone count no more at once. Declare a daemon gone only when its process has ended: two sides of a " +
			"partition that have each declared the other gone run jobs twice. A daemon that is removed although it is alive " +
			"announces itself again.\n\n" +
			"Example: cicadadale member remove --gone --store 10.200.1.7:8169 edge-cork-a-1",
		Commands: []*cli.Command{memberListCommand(), memberRemoveCommand()},
	}
}

func memberFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "store", Required: true, Usage: "`ADDRESS` of the platform's store"},
		&cli.DurationFlag{Name: "timeout", Value: 5 * time.Second, Usage: "time for all calls together"},
	}
}

func memberListCommand() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "print the listed daemons, one a line", Flags: memberFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			members, err := listMembers(ctx, memberStore(c))
			if err != nil {
				return err
			}
			for _, m := range members {
				if _, err := fmt.Fprintf(c.Root().Writer, "%s %s %s\n", m.VM, m.Domain, m.Address); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func memberRemoveCommand() *cli.Command {
	return &cli.Command{
		Name: "remove", Usage: "remove daemons from the list", ArgsUsage: "VM...",
		Flags: append(memberFlags(), &cli.BoolFlag{Name: "gone", Usage: "the VMs are gone for good; their daemons have ended"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			store := memberStore(c)
			listed, err := listMembers(ctx, store)
			if err != nil {
				return err
			}
			var members []machine.Member
			for _, vm := range c.Args().Slice() {
				i := slices.IndexFunc(listed, func(m machine.Member) bool { return m.VM == vm })
				if i < 0 {
					return fmt.Errorf("%s is not listed", vm)
				}
				members = append(members, listed[i])
			}
			for _, m := range members {
				if err := removeMember(ctx, store, m, c.Bool("gone")); err != nil {
					return fmt.Errorf("removing %s: %w", m.VM, err)
				}
			}
			return nil
		},
	}
}

// removeMember removes a daemon from the list, or declares it gone for good.
func removeMember(ctx context.Context, store *platform.LogStore, m machine.Member, gone bool) error {
	if gone {
		return store.DeclareGone(ctx, m)
	}
	return store.RemoveMember(ctx, m.VM)
}

func memberStore(c *cli.Command) *platform.LogStore {
	return platform.NewLogStore(c.String("store"), slog.New(slog.DiscardHandler))
}

// listMembers returns the listed members in the order of their VMs.
func listMembers(ctx context.Context, store *platform.LogStore) ([]machine.Member, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var members []machine.Member
	read := false
	store.FollowMembers(ctx, func(list machine.MemberList) {
		members, read = list.Members, true
		cancel()
	})
	if !read {
		return nil, errMembersUnread
	}
	slices.SortFunc(members, func(a, b machine.Member) int { return cmp.Compare(a.VM, b.VM) })
	return members, nil
}
