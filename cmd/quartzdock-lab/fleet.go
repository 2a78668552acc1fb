package main

import (
	"os"

	"github.com/peterbourgon/ff/v4"

	"github.com/quartzdock/quartzdock/lab/hollow"
)

func fleetCommand() *ff.Command { return hollow.Command(os.Stdout, os.Stderr) }
