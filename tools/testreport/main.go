// Command testreport reads the output of "go test -json" and gives the verdict
// of the run:
//
//	go test -json ./... | go run ./tools/testreport -known-red KNOWN-RED.txt
//
// It prints failed tests with their output and a summary. Status 0 means that
// everything passed, but for tests that are listed as known to fail; those are
// printed in any case. A package that did not build, panicked or timed out is
// never passed over, and neither is an input that ends early.
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
	known, err := parseKnownRed(string(text))
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
