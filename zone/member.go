package zone

import (
	"context"

	"github.com/qmuntal/stateless"
)

// MemberState is the state of an entry VM as its peers see it.
type MemberState uint8

// Member states. Leaving is never reverted to live.
const (
	MemberJoining MemberState = iota
	MemberLive
	MemberSuspect
	MemberLeaving
	MemberGone
)

// String returns the name used in logs and on the status page.
func (s MemberState) String() string {
	names := [...]string{"joining", "live", "suspect", "leaving", "gone"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

type memberEvent uint8

const (
	eventContact memberEvent = iota
	eventSilent
	eventExpired
	eventLeave
	eventDropped
)

type memberStateKey struct{}

// memberMachine is shared by all members: building one state machine per member would cost far more than a
// transition.
var memberMachine = newMemberMachine()

func newMemberMachine() *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) {
			return *ctx.Value(memberStateKey{}).(*MemberState), nil
		},
		func(ctx context.Context, s stateless.State) error {
			*ctx.Value(memberStateKey{}).(*MemberState) = s.(MemberState)
			return nil
		},
		stateless.FiringImmediate,
	)
	m.Configure(MemberJoining).
		Permit(eventContact, MemberLive).
		Permit(eventExpired, MemberGone).
		Permit(eventLeave, MemberLeaving).
		Permit(eventDropped, MemberGone)
	m.Configure(MemberLive).
		Permit(eventSilent, MemberSuspect).
		Permit(eventLeave, MemberLeaving).
		Permit(eventDropped, MemberGone)
	m.Configure(MemberSuspect).
		Permit(eventContact, MemberLive).
		Permit(eventExpired, MemberGone).
		Permit(eventLeave, MemberLeaving).
		Permit(eventDropped, MemberGone)
	m.Configure(MemberLeaving).
		Permit(eventExpired, MemberGone).
		Permit(eventDropped, MemberGone)
	// A member that was cut off for long enough to count as gone may return.
	m.Configure(MemberGone).
		Permit(eventContact, MemberLive).
		Permit(eventLeave, MemberLeaving)
	m.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	return m
}

func fireMember(s *MemberState, e memberEvent) {
	ctx := context.WithValue(context.Background(), memberStateKey{}, s)
	// The state machine ignores unhandled events, and its accessors cannot fail.
	_ = memberMachine.FireCtx(ctx, e)
}
