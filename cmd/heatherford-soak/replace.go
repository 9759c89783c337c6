package main

import (
	"sync"
	"syscall"
)

// firstProgram returns the program that hosts run at first.
func (o *options) firstProgram() string {
	if o.Old != "" {
		return o.Old
	}
	return o.Program
}

// replace replaces the next host by one of the other build in a planned stop, unless a fault is
// at work on it. Once all hosts run a build, they are replaced by the other one again. It does
// nothing in runs of one build.
func (w *world) replace(group *sync.WaitGroup) {
	if w.options.Old == "" {
		return
	}
	program, name := w.options.Program, "upgrade"
	if w.replaced/len(w.processes)%2 == 1 {
		program, name = w.options.Old, "downgrade"
	}
	if w.on(group, w.replaced%len(w.processes), name, func(p *process) {
		p.use(program)
		w.holdOn(group, p)
		p.signal(syscall.SIGTERM)
	}) {
		w.replaced++
	}
}
