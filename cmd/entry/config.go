package main

import (
	"context"

	"turmericgap/configuration"
	"turmericgap/rpc"
)

// methodConfig is the RPC method that returns an entry VM's configuration and rules if they are newer than the caller's.
const methodConfig = "Entry.Config"

func (p *program) serveConfig(_ context.Context, in *configuration.PeerRequest) (*configuration.PeerReply, error) {
	return p.config.Reply(in), nil
}

// listPeers returns the addresses of the other entry VMs.
func (p *program) listPeers() []string {
	var out []string
	for _, n := range p.group.Peers() {
		if n.ID != p.settings.ID {
			out = append(out, n.Address)
		}
	}
	return out
}

// askPeerConfig asks another VM for a newer configuration and newer rules.
func (p *program) askPeerConfig(ctx context.Context, address string, req *configuration.PeerRequest) (*configuration.PeerReply, error) {
	return rpc.Call[configuration.PeerRequest, configuration.PeerReply](ctx, p.peers.Get(address), methodConfig, req)
}
