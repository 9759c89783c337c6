package sessions

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// bin is the directory with the programs under test.
var bin string

func TestMain(m *testing.M) {
	os.Exit(runMain(m))
}

func runMain(m *testing.M) int {
	d, err := os.MkdirTemp("", "heatherford-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() {
		if err := os.RemoveAll(d); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	c := exec.Command("go", "build", "-o", d, "heatherford/cmd/...")
	c.Stderr = os.Stderr
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "cannot build the programs:", err)
		return 1
	}
	bin = d
	return m.Run()
}

func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Setenv("PATH", bin+string(filepath.ListSeparator)+e.Getenv("PATH"))
			p := processes{}
			e.Values[processesKey] = p
			e.Values[trafficsKey{}] = map[string]*traffic{}
			e.Values[sentKey] = sent{}
			e.Defer(p.killAll)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"ports":    cmdPorts,
			"expand":   cmdExpand,
			"http":     cmdHTTP,
			"until":    cmdUntil,
			"masked":   cmdMasked,
			"start":    cmdStart,
			"signal":   cmdSignal,
			"ended":    cmdEnded,
			"noon":     cmdNoon,
			"fleet":    cmdFleet,
			"never":    cmdNever,
			"shown":    cmdShown,
			"replace":  cmdReplace,
			"steady":   cmdSteady,
			"traffic":  cmdTraffic,
			"deadline": cmdDeadline,
			"rows":     cmdRows,
			"ticket":   cmdTicket,
			"leave":    cmdLeave,
			"fresh":    cmdFresh,
			"send":     cmdSend,
			"sent":     cmdSent,
			"hosts":    cmdHosts,
			"burst":    cmdBurst,
			"peak":     cmdPeak,
			"rise":     cmdRise,
			"contest":  cmdContest,
			"goeson":   cmdGoesOn,

			"backinuse": cmdBackInUse,
		},
		RequireExplicitExec: true,
		UpdateScripts:       os.Getenv("UPDATE_SESSIONS") != "",
	})
}
