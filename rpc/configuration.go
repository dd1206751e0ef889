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

// Configured is implemented by what shows its configuration to callers, for reading only.
type Configured interface {
	Configuration() (machine.EntryVM, contract.ConfigView)
}

type configurationServer struct {
	api.UnimplementedConfigurationServer
	source Configured
}

// Show implements the generated interface.
func (s configurationServer) Show(_ context.Context, r *api.ShowConfigurationRequest) (*api.ShowConfigurationResponse, error) {
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

// ShowConfiguration asks one entry VM for its configuration. Credentials are optional.
func ShowConfiguration(ctx context.Context, address string, positionOnly bool, creds credentials.TransportCredentials) (*api.ShowConfigurationResponse, error) {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, err
	}
	// The reply has been read by then.
	defer func() { _ = conn.Close() }()
	return api.NewConfigurationClient(conn).Show(ctx, &api.ShowConfigurationRequest{PositionOnly: positionOnly})
}
