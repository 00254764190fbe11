// Command sailctl is the operators' command.
package main

import (
	"os"

	"sequoiasail.example/cmd/internal/sailctl"
)

func main() { os.Exit(sailctl.Main()) }
