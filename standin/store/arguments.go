package store

import "flag"

// AddFlags defines the flags of cmd/standin-store in f and returns the options that they set.
func AddFlags(f *flag.FlagSet) *Options {
	o := &Options{}
	f.StringVar(&o.Listen, "listen", "127.0.0.1:7070", "host:port of the store")
	f.IntVar(&o.History, "history", DefaultHistory, "number of changes kept for watches")
	return o
}
