package load

import (
	"context"
	"net"
	"sort"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/cicadadale/cicadadale/internal/httpserve"
	"github.com/cicadadale/cicadadale/platform"
)

// NewView serves the list to one entry VM. shown is told of each leaving VM that a reply names.
func NewView(vm string, roster *Roster, network *Network, shown func(vm, leaving string)) (*View, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	v := &View{vm: vm, roster: roster, network: network, shown: shown, server: httpserve.New(l, nil)}
	v.server.GET("/v1/vms", v.list)
	v.server.Start()
	return v, nil
}

// Address returns where the view listens.
func (v *View) Address() string { return v.server.Address() }

// Close stops serving.
func (v *View) Close() { _ = v.server.Stop() }

func (v *View) list(_ context.Context, c *app.RequestContext) {
	vms, ok := v.roster.VMs()
	if !ok {
		c.String(503, "list is down")
		return
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	for i := range vms {
		if err := v.route(&vms[i]); err != nil {
			c.String(503, "no link: %v", err)
			return
		}
	}
	c.JSON(200, vms)
	for _, vm := range vms {
		if vm.Leaving {
			v.shown(v.vm, vm.ID)
		}
	}
}

// route replaces the addresses of a VM by those of the relays that lead to it.
func (v *View) route(vm *platform.VM) error {
	if vm.ID == v.vm {
		return nil
	}
	target := &vm.Address
	if vm.Kind == platform.KindEntry {
		target = &vm.PeerAddress
	}
	r, err := v.network.Link(v.vm, vm.ID, *target)
	if err != nil {
		return err
	}
	*target = r.Address()
	return nil
}
