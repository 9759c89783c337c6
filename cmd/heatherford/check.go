package main

import (
	"flag"
	"fmt"

	"heatherford/core/code"
	"heatherford/platform"
)

// check says what is wrong with a deploy folder and a host's settings.
func check(e *environment, args []string) error {
	f := flag.NewFlagSet("check", flag.ContinueOnError)
	f.SetOutput(e.stderr)
	f.Usage = func() {
		fmt.Fprint(e.stderr, `usage: heatherford check [-settings FILE] [-deploy FOLDER]

Checks the settings file that the platform writes for a host, and the deploy folder
that says how the hosts' program is built and run. It prints a line for each thing
that is wrong: file, line, field, reason and code. Nothing is changed or started.

  heatherford check -deploy deploy
  heatherford check -settings /etc/heatherford/local.toml

`)
		f.PrintDefaults()
	}
	settings := f.String("settings", "", "`file` with a host's settings")
	deploy := f.String("deploy", "", "`folder` that holds "+platform.DeployFile)
	if err := f.Parse(args); err != nil {
		return err
	}
	if f.NArg() > 0 || (*settings == "" && *deploy == "") {
		f.Usage()
		return wrongUsage("check needs -settings, -deploy or both, and nothing else")
	}
	problems := []platform.Problem{}
	if *deploy != "" {
		problems = append(problems, platform.CheckDeploy(*deploy)...)
	}
	if *settings != "" {
		problems = append(problems, platform.CheckSettings(*settings)...)
	}
	for _, p := range problems {
		fmt.Fprintln(e.stdout, p)
	}
	if len(problems) > 0 {
		return code.New(code.SettingsValue, "heatherford: check found %d", len(problems))
	}
	fmt.Fprintln(e.stdout, "all is valid")
	return nil
}
