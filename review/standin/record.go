package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), began: time.Now()}, nil
}

// add writes one line: seconds since the start, who, and what.
func (r *record) add(who, format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%9.3f %-10s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, arguments...))
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
