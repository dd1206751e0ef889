package rpc

import (
	"context"
	"encoding/json"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// ConfigurationSource is the read-only source of the configuration that is shown to callers.
type ConfigurationSource interface {
	Configuration() (machine.EntryVM, contract.ConfigView)
}

type configurationServer struct {
	api.UnimplementedConfigurationServer
	source ConfigurationSource
}

// Show implements the generated interface.
func (s configurationServer) Show(
	_ context.Context, r *api.ShowConfigurationRequest,
) (*api.ShowConfigurationResponse, error) {
	vm, v := s.source.Configuration()
	out := &api.ShowConfigurationResponse{
		Vm: vm.ID, Incarnation: uint64(vm.Incarnation), Known: v.Known, NextOffset: v.Next, Revision: v.Revision,
		ChangeId: v.Origin.ID, Author: v.Origin.Author,
	}
	if r.GetPositionOnly() {
		return out, nil
	}
	document, err := json.Marshal(v.Document)
	if err != nil {
		return nil, status.Errorf(codes.Internal, "encode document: %v", err)
	}
	out.Document = document
	return out, nil
}

// ShowConfiguration requests the configuration of one entry VM. creds may be nil.
func ShowConfiguration(
	ctx context.Context, address string, positionOnly bool, creds credentials.TransportCredentials,
) (*api.ShowConfigurationResponse, error) {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, err
	}
	// The reply has already been read, so an error of closing does not matter.
	defer func() { _ = conn.Close() }()
	return api.NewConfigurationClient(conn).Show(ctx, &api.ShowConfigurationRequest{PositionOnly: positionOnly})
}
