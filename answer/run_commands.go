package answer

import (
	"context"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

func (u *run) do(commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case *Forward:
			u.note(u.sink.Write(c.Offset, c.Token))
		case Dispatch:
			u.dispatch(c)
		case Cancel:
			u.cancel(c)
		case ExportKV:
			u.export(c)
		case Complete:
			u.complete = &c
			u.note(u.sink.Complete(c))
		case GiveUp:
			u.refusal = &c
			u.note(u.sink.GiveUp(c))
		}
	}
}

// note takes an error of the sink for a caller who is gone.
func (u *run) note(err error) {
	if err != nil {
		u.pending = append(u.pending, CallerGone{})
	}
}

func (u *run) dispatch(d Dispatch) {
	choice, ok := u.runner.Picker.Pick(u.query(d))
	if !ok {
		u.pending = append(u.pending, NoServer{Attempt: d.Attempt})

		return
	}

	engine, ok := u.runner.Engines.Engine(choice.Server)
	if !ok {
		u.refuse(d, choice)

		return
	}

	kv := d.KV
	if choice.Server != d.Prefer {
		kv = ""
	}

	if kv != "" {
		kvImportsTotal.Inc()
	}

	ctx, cancel := context.WithCancel(u.ctx)
	a := &attempt{id: d.Attempt, server: choice.Server, engine: engine, ctx: ctx, cancel: cancel}
	u.open[a.id] = a
	u.current = a
	u.pending = append(u.pending, Started{Attempt: a.id, Server: a.server})
	u.checkLeaving()
	u.runner.group.Go(func() { u.read(a, u.request.generate(d, kv), choice.Release) })
}

func (u *run) query(d Dispatch) Query {
	return Query{
		Account:      u.request.Account,
		Model:        u.request.Model,
		Priority:     u.request.Priority,
		PromptPrefix: u.request.PromptPrefix,
		Exclude:      d.Exclude,
		Prefer:       d.Prefer,
	}
}

// refuse ends an attempt at a server whose engine is not known any more.
func (u *run) refuse(d Dispatch, c Choice) {
	if c.Release != nil {
		c.Release(backend.ErrNotSent, 0)
	}

	u.pending = append(u.pending,
		Started{Attempt: d.Attempt, Server: c.Server},
		Broken{Attempt: d.Attempt, Err: backend.ErrNotSent})
}

// cancel closes the stream and tells the engine, which may not notice that.
func (u *run) cancel(c Cancel) {
	a, ok := u.open[c.Attempt]
	if !ok {
		return
	}

	delete(u.open, c.Attempt)
	a.cancel()
	u.runner.group.Go(func() {
		ctx, stop := context.WithTimeout(context.WithoutCancel(u.ctx), u.cancelTimeout())
		defer stop()

		// An engine that cannot be reached is gone, and the attempt with it.
		_ = a.engine.Cancel(ctx, a.id)
	})
}

const defaultCancelTimeout = time.Second

func (u *run) cancelTimeout() time.Duration {
	if u.runner.CancelTimeout > 0 {
		return u.runner.CancelTimeout
	}

	return defaultCancelTimeout
}

func (u *run) export(e ExportKV) {
	a, ok := u.open[e.Attempt]
	if !ok || u.runner.Exports == nil {
		return
	}

	u.runner.group.Go(func() {
		u.send(arrival{attempt: e.Attempt, other: u.exportKV(a, e)})
	})
}

func (u *run) exportKV(a *attempt, e ExportKV) Event {
	failed := ExportFailed{Attempt: e.Attempt}

	turn, ok := u.runner.Exports.Target(a.ctx, u.request, e)
	if !ok {
		return failed
	}

	if turn.Done != nil {
		defer turn.Done()
	}

	address, ok := u.runner.Engines.Address(turn.Target)
	if !ok {
		return failed
	}

	name, err := a.engine.ExportKV(a.ctx, a.id, address)
	if err != nil || u.isLeaving(turn.Target) {
		return failed
	}

	return KVExported{Attempt: e.Attempt, Target: turn.Target, KV: name}
}

func (u *run) isLeaving(server fleet.InstanceID) bool {
	if u.runner.Leaving == nil {
		return false
	}

	_, leaving := u.runner.Leaving.At(server)

	return leaving
}
