package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file that holds what was sent, answered and run. It is safe for concurrent use.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	text *bufio.Writer
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		began: time.Now(),
		file:  f,
		text:  bufio.NewWriter(f),
	}, nil
}

// add writes a line: the seconds since the beginning, what happened, and pairs of keys and
// values.
func (r *record) add(what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.text, "%8.3f %s", time.Since(r.began).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		v := fmt.Sprint(pairs[i+1])
		if strings.ContainsAny(v, " \n\r\t\"") || v == "" {
			v = fmt.Sprintf("%q", v)
		}
		fmt.Fprintf(r.text, " %v=%s", pairs[i], v)
	}
	fmt.Fprintln(r.text)
}

// close writes what is left.
func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.text.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
