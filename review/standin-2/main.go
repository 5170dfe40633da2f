package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a scenario.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxTime is the time after which a scenario is given up.
const maxTime = 110 * time.Second

// scenarios by name; each returns an exit code and what it saw.
var scenarios = map[string]func(record io.Writer, trouble bool) (int, string){
	"first-start": firstStart, "cut-upload": cutUpload, "reused-address": reusedAddress, "queued-at-stop": queuedAtStop, "foreign-answer": foreignAnswer,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 SCENARIO RECORD-FILE")
		os.Exit(failed)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	go endEarly()
	code, seen := scenarios[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	fmt.Fprintf(record, "result: %s\n", seen)
	_ = record.Close()
	fmt.Println(seen)
	os.Exit(code)
}

// endEarly ends all processes and this program on a signal, or when the scenario takes too long.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	if current != nil {
		current.close()
	}
	fmt.Fprintln(os.Stderr, "the scenario was given up")
	os.Exit(failed)
}
