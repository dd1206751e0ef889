package command

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/zone"
)

// parseEntryVM parses ID;DOMAIN;PEERS;CALLERS.
func parseEntryVM(text string) (platform.VM, error) {
	parts := strings.Split(text, ";")
	if len(parts) != 4 {
		return platform.VM{}, fmt.Errorf("entry VM %q is not of the form ID;DOMAIN;PEERS;CALLERS", text)
	}
	domain, err := strconv.ParseUint(parts[1], 10, 16)
	if err != nil {
		return platform.VM{}, fmt.Errorf("entry VM %q: invalid failure domain", text)
	}
	return platform.VM{
		ID: parts[0], Kind: platform.KindEntry, Domain: zone.DomainID(domain), PeerAddress: parts[2],
		CallerAddress: parts[3],
	}, nil
}
