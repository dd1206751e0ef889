package main

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/platform"
)

// Times of the case two-late.
const (
	// twoLimit is how long the client waits for each answer.
	twoLimit = 2500 * time.Millisecond
	// crashAfter is the time from the first submission to the crash of the worker, back that to its restart.
	crashAfter = 4 * time.Second
	back       = 6100 * time.Millisecond
)

// crash makes the worker dark. Its runs end, and it answers nothing until restart.
func (f *lateFront) crash() {
	f.mu.Lock()
	f.dark, f.late = true, false
	f.mu.Unlock()
	f.w.rig.rec.add("worker %s: crashes", f.w.id)
	f.w.silence(true)
	f.w.host.Crash()
}

// restart begins the next life of the worker under its id, which carries out the starts that got no answer from the life before.
func (f *lateFront) restart() {
	rec := f.w.rig.rec
	f.w.host.Restart()
	rec.add("worker %s: starts again", f.w.id)
	f.mu.Lock()
	kept := f.kept
	f.mu.Unlock()
	for _, o := range kept {
		key, err := platform.ParseTaskName(o.Task)
		if err != nil {
			continue
		}
		key.Run = o.Run
		verdict, _, err := f.w.host.Start(context.Background(), link.HostStart{Key: key, Token: o.Token,
			LeaseEnd: time.Duration(o.Until) * time.Millisecond})
		rec.add("worker %s: carries out the late start of %s: %v %v", f.w.id, name(key), verdict, err)
	}
	f.mu.Lock()
	f.dark = false
	f.mu.Unlock()
	f.w.silence(false)
}

// twoLate plays a worker that leaves its starts unanswered, crashes, and carries them out after its restart. The client of the only
// job that has to run there gets 504 at its time limit and sends it again, so that two runs of its task are among them.
func twoLate(r *rig, trouble bool) (bool, error) {
	fronts, err := r.lateDeployment()
	if err != nil {
		return false, err
	}
	stopClients := r.startOtherClients()
	if f := fronts[0]; trouble {
		f.mu.Lock()
		f.late, f.keeps = true, true
		f.mu.Unlock()
		time.AfterFunc(crashAfter, f.crash)
		time.AfterFunc(back, f.restart)
	}
	r.sendLabelled(twoLimit)
	time.Sleep(time.Until(r.rec.began.Add(14 * time.Second)))
	stopClients()
	return r.judgeLate(fronts)
}
