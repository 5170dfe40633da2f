package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record holds what was sent, answered and run, in order of time.
type record struct {
	mu    sync.Mutex
	begin time.Time
	lines []string
}

func newRecord() *record { return &record{begin: time.Now()} }

func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  %-20s %s", time.Since(r.begin).Seconds(), who, fmt.Sprintf(format, args...)))
}

func (r *record) write(folder string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return err
	}
	for _, l := range r.lines {
		fmt.Fprintln(f, l)
	}
	return f.Close()
}
