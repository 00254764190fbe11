// Command sailctl is the operators' command-line tool for checking answers and configurations and for operating a
// fleet.
package main

import (
	"os"

	"sequoiasail.example/cmd/internal/sailctl"
)

func main() { os.Exit(sailctl.Main()) }
