package load

import (
	"context"
	"net"
	"sort"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/cicadadale/cicadadale/internal/httpserve"
	"github.com/cicadadale/cicadadale/platform"
)

// NewVMListServer serves the list to one entry VM. onLeavingListed is called for each leaving VM in a reply.
func NewVMListServer(
	vm string, vmList *VMList, network *Network, onLeavingListed func(vm, leaving string),
) (*VMListServer, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	s := &VMListServer{
		vm: vm, vmList: vmList, network: network, onLeavingListed: onLeavingListed, server: httpserve.New(l, nil),
	}
	s.server.GET("/v1/vms", s.list)
	s.server.Start()
	return s, nil
}

// Address returns the address on which the list is served.
func (s *VMListServer) Address() string { return s.server.Address() }

// Close stops serving.
func (s *VMListServer) Close() { _ = s.server.Stop() }

func (s *VMListServer) list(_ context.Context, c *app.RequestContext) {
	vms, ok := s.vmList.VMs()
	if !ok {
		c.String(503, "list is down")
		return
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	for i := range vms {
		if err := s.route(&vms[i]); err != nil {
			c.String(503, "no link: %v", err)
			return
		}
	}
	c.JSON(200, vms)
	for _, vm := range vms {
		if vm.Leaving {
			s.onLeavingListed(s.vm, vm.ID)
		}
	}
}

// route replaces a VM's address with that of the relay to it.
func (s *VMListServer) route(vm *platform.VM) error {
	if vm.ID == s.vm {
		return nil
	}
	target := &vm.Address
	if vm.Kind == platform.KindEntry {
		target = &vm.PeerAddress
	}
	r, err := s.network.Link(s.vm, vm.ID, *target)
	if err != nil {
		return err
	}
	*target = r.Address()
	return nil
}
