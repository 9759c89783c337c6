package daemon

// The plug-ins of a daemon register themselves.
import (
	_ "heatherford/io/caller"
	_ "heatherford/io/collector"
	_ "heatherford/io/health"
	_ "heatherford/io/operator"
	_ "heatherford/io/peer"
	_ "heatherford/io/platform"
	_ "heatherford/io/upstream"
)
