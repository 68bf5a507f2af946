// Command silverswitch is the operators' tool.
package main

import (
	"os"

	"github.com/silverswitch/silverswitch/internal/tool"
)

func main() {
	os.Exit(tool.Main(os.Args[1:], os.Stdout, os.Stderr))
}
