// Command testreport reads the output of "go test -json" and decides whether
// the run passes:
//
//	go test -json ./... | go run ./tools/testreport -known-red KNOWN-RED.txt
//
// It prints failed tests with their output and a summary. The exit status is 0
// if every test passed except those listed as known failures, which are always
// printed. A package that does not build, panics or times out fails the run even
// if its tests are listed, and so does input that ends early.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	file := flag.String("known-red", "KNOWN-RED.txt", "list of tests that are known to fail")
	flag.Parse()
	text, err := os.ReadFile(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "testreport:", err)
		os.Exit(2)
	}
	known, err := parseKnownFailures(string(text))
	if err != nil {
		fmt.Fprintf(os.Stderr, "testreport: %s: %v\n", *file, err)
		os.Exit(2)
	}
	run, err := readRun(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "testreport:", err)
		os.Exit(1)
	}
	if !run.report(os.Stdout, known) {
		os.Exit(1)
	}
}
