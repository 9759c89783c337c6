package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// build builds the host's program from a source tree, or from the current folder's if it is
// empty. The function that it returns removes the program.
func build(tree string, race bool) (program string, remove func(), err error) {
	folder, err := os.MkdirTemp("", "heatherford-soak")
	if err != nil {
		return "", nil, err
	}
	remove = func() { _ = os.RemoveAll(folder) }
	program = filepath.Join(folder, "heatherford-edge")
	c := exec.Command("go", "build", "-trimpath", fmt.Sprintf("-race=%t", race), "-o", program, "heatherford/cmd/heatherford-edge")
	c.Dir = tree
	if b, err := c.CombinedOutput(); err != nil {
		remove()
		return "", nil, fmt.Errorf("go build: %w: %s", err, b)
	}
	return program, remove, nil
}

// buildCommit builds the host's program of a commit, in a work tree that it removes again.
func buildCommit(commit string, race bool) (program string, remove func(), err error) {
	folder, err := os.MkdirTemp("", "heatherford-soak")
	if err != nil {
		return "", nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	tree := filepath.Join(folder, "tree")
	if b, err := exec.Command("git", "worktree", "add", "--detach", tree, commit).CombinedOutput(); err != nil {
		return "", nil, fmt.Errorf("git worktree add: %w: %s", err, b)
	}
	program, remove, err = build(tree, race)
	if err != nil {
		err = fmt.Errorf("commit %s: %w", commit, err)
	}
	b, removeErr := exec.Command("git", "worktree", "remove", "--force", tree).CombinedOutput()
	if err == nil && removeErr != nil {
		remove()
		return "", nil, fmt.Errorf("git worktree remove: %w: %s", removeErr, b)
	}
	return program, remove, err
}
