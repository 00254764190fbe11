// Command sail-questionnaire fills in the answers from which the configuration is generated.
package main

import (
	"os"

	"sequoiasail.example/cmd/internal/questionnaire"
)

func main() { os.Exit(questionnaire.Main()) }
