package main

import (
	"context"
	"math/rand/v2"

	"turmericgap/configuration"
	"turmericgap/rpc"
)

// methodConfig asks an entry VM for a newer configuration.
const methodConfig = "Entry.Config"

type configRequest struct {
	Known int64 `msgpack:"k"`
}

func (p *parts) serveConfig(_ context.Context, in *configRequest) (*configuration.Document, error) {
	doc := p.config.Document()
	if doc.Version <= in.Known {
		return &configuration.Document{}, nil
	}
	return &doc, nil
}

// askConfig asks another VM at random.
func (p *parts) askConfig(ctx context.Context, known int64) (*configuration.Document, error) {
	nodes := p.group.Nodes()
	if len(nodes) == 0 {
		return nil, nil
	}
	peer := nodes[rand.N(len(nodes))]
	if peer.ID == p.settings.ID {
		return nil, nil
	}
	return rpc.Call[configRequest, configuration.Document](ctx, p.peers.Get(peer.Address), methodConfig, &configRequest{Known: known})
}
