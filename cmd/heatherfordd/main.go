// Heatherfordd is the daemon that runs on every entry host.
package main

import (
	"flag"
	"os"
	"runtime"

	"heatherford/cmd/internal/daemon"
)

func main() {
	path := flag.String("settings", "heatherfordd.json", "`file` with the daemon's settings")
	check := flag.Bool("check", false, "validate the settings and exit")
	flag.Parse()
	b := newBallast()
	n := daemon.Run(daemon.Options{
		Path:  *path,
		Check: *check,
	})
	runtime.KeepAlive(b)
	os.Exit(n)
}
