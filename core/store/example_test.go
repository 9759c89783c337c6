package store_test

import (
	"context"
	"fmt"

	"heatherford/core/code"
	"heatherford/core/store"
)

// An adapter provides the functions of a Store and registers itself under the
// name that is used in the settings. This one returns a fixed list of hosts; all
// its other calls fail.
func ExampleRegister() {
	store.Register("example", func(url string) (store.Store, error) {
		down := func() error {
			return code.New(code.PlatformDown, "example: %s does not answer", url)
		}
		return store.Store{
			Commit: func(context.Context, store.Transaction) (store.Committed, error) {
				return store.Committed{}, down()
			},
			Read: func(context.Context, store.Query) ([]store.Row, error) {
				return nil, down()
			},
			PutObject: func(context.Context, string, []byte) error {
				return down()
			},
			GetObject: func(context.Context, string) ([]byte, error) {
				return nil, down()
			},
			ListObjects: func(context.Context, string) ([]string, error) {
				return nil, down()
			},
			Hosts: func(context.Context) ([]store.Host, error) {
				return []store.Host{
					{
						Name:  "h1",
						State: store.HostLive,
					},
				}, nil
			},
		}, nil
	})
	s, err := store.Lookup("example")("http://10.0.0.1:7100")
	if err != nil {
		fmt.Println(err)
		return
	}
	hosts, _ := s.Hosts(context.Background())
	fmt.Println(hosts[0].Name, hosts[0].State)
	_, err = s.Read(context.Background(), store.Query{
		Keys: []string{"config/head"},
	})
	fmt.Println(err)
	// Output:
	// h1 live
	// example: http://10.0.0.1:7100 does not answer [6001]
}
