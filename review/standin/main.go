package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken is returned by a case that has seen the rule broken.
var errBroken = errors.New("the rule was broken")

// caseLimit ends a case that takes too long.
const caseLimit = 110 * time.Second

// active is the platform of the case, whose processes are ended if the case takes too long or is
// stopped.
var active atomic.Pointer[platform]

func setActive(p *platform) { active.Store(p) }

func closeActive() {
	if p := active.Load(); p != nil {
		p.close()
	}
}

var cases = map[string]func(rec *record, trouble bool) error{
	"late-in-grace":  lateInGrace,
	"late-beat":      lateBeat,
	"forgotten-exit": forgottenExit,
	"cut-answer":     cutAnswer,
}

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder for record.txt")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(exitFailed)
	}
	rec := newRecord()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- play(rec, os.Getenv("TROUBLE") != "0") }()
	var err error
	select {
	case err = <-done:
	case <-time.After(caseLimit):
		err = errors.New("the case took too long")
		closeActive()
	case <-stop:
		err = errors.New("the case was stopped")
		closeActive()
	}
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
	case err != nil:
		code = exitFailed
	}
	rec.add("result", "exit %d: %v", code, err)
	if werr := rec.write(*folder); werr != nil {
		fmt.Fprintln(os.Stderr, werr)
		code = exitFailed
	}
	fmt.Println("exit", code, "error:", err)
	os.Exit(code)
}
