package store_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"heatherford/core/code"
	"heatherford/core/store"
)

func TestWatchTellsEachChangeOnce(t *testing.T) {
	c := qt.New(t)
	errs := []error{
		nil,
		code.New(code.PlatformDown, "platform: down"),
		code.New(code.PlatformUnknown, "platform: lost"),
		code.Wrap(code.PlatformDown, context.Canceled, "platform: cancelled"),
		code.New(code.PlatformConflict, "platform: conflict"),
		nil,
	}
	reported := []string{}
	s := store.Watch(store.Store{
		PutObject: func(context.Context, string, []byte) error {
			e := errs[0]
			errs = errs[1:]
			return e
		},
	}, func(err error) {
		if err != nil {
			reported = append(reported, "down")
			return
		}
		reported = append(reported, "up")
	})
	for len(errs) > 0 {
		_ = s.PutObject(context.Background(), "a", nil)
	}
	c.Assert(reported, qt.DeepEquals, []string{"down", "up"})
}
