package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what happens to record.txt in the folder of a case.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// note writes one line with the seconds since the beginning.
func (r *record) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}
