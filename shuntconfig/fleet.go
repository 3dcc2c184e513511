package shuntconfig

// Fleet lists the availability zones and the VMs, and which are in service.
type Fleet struct {
	Version int64
	Zones   []Zone
	VMs     []VM
}

// Zone is an availability zone.
type Zone struct {
	Name      string
	Region    string
	InService bool
}

// VM is one entry VM. Its name outlives the machine: a replaced VM takes the
// name, and with it the place in the cell, of the one before it.
type VM struct {
	Name      string
	Zone      string
	Cell      string
	InService bool
	// CallerAddress, PeerAddress and OperatorAddress are host:port pairs of
	// the three listeners.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
}

// Zone returns the zone called name.
func (f Fleet) Zone(name string) (Zone, bool) {
	for _, z := range f.Zones {
		if z.Name == name {
			return z, true
		}
	}
	return Zone{}, false
}

// VM returns the VM called name.
func (f Fleet) VM(name string) (VM, bool) {
	for _, v := range f.VMs {
		if v.Name == name {
			return v, true
		}
	}
	return VM{}, false
}

// ZoneInService says whether the zone called name is known and in service.
func (f Fleet) ZoneInService(name string) bool {
	z, ok := f.Zone(name)
	return ok && z.InService
}

// VMInService says whether the VM called name and its zone are in service.
func (f Fleet) VMInService(name string) bool {
	v, ok := f.VM(name)
	return ok && v.InService && f.ZoneInService(v.Zone)
}

// Cell returns the VMs of the named cell in the order of the document.
func (f Fleet) Cell(name string) []VM {
	var out []VM
	for _, v := range f.VMs {
		if v.Cell == name {
			out = append(out, v)
		}
	}
	return out
}

// PeerAddresses returns the peer addresses of all VMs but the one called but.
func (f Fleet) PeerAddresses(but string) []string {
	var out []string
	for _, v := range f.VMs {
		if v.Name != but {
			out = append(out, v.PeerAddress)
		}
	}
	return out
}

// WithZoneInService returns f with one zone marked in or out of service.
func (f Fleet) WithZoneInService(name string, in bool) Fleet {
	zs := make([]Zone, len(f.Zones))
	copy(zs, f.Zones)
	for i := range zs {
		if zs[i].Name == name {
			zs[i].InService = in
		}
	}
	f.Zones = zs
	return f
}

// WithVMInService returns f with one VM marked in or out of service.
func (f Fleet) WithVMInService(name string, in bool) Fleet {
	vs := make([]VM, len(f.VMs))
	copy(vs, f.VMs)
	for i := range vs {
		if vs[i].Name == name {
			vs[i].InService = in
		}
	}
	f.VMs = vs
	return f
}

func (f Fleet) check() error {
	zones := map[string]bool{}
	for _, z := range f.Zones {
		if err := checkName(FleetKey, "Zones.Name", z.Name); err != nil {
			return err
		}
		if err := checkName(FleetKey, "Zones.Region", z.Region); err != nil {
			return err
		}
		if zones[z.Name] {
			return &FieldError{FleetKey, "Zones.Name", z.Name, "is there twice"}
		}
		zones[z.Name] = true
	}
	names := map[string]bool{}
	for _, v := range f.VMs {
		if err := v.check(zones); err != nil {
			return err
		}
		if names[v.Name] {
			return &FieldError{FleetKey, "VMs.Name", v.Name, "is there twice"}
		}
		names[v.Name] = true
	}
	return nil
}

func (v VM) check(zones map[string]bool) error {
	if err := checkName(FleetKey, "VMs.Name", v.Name); err != nil {
		return err
	}
	if !zones[v.Zone] {
		return &FieldError{FleetKey, "VMs.Zone", v.Zone, "is not among Zones (VM " + v.Name + ")"}
	}
	if err := checkName(FleetKey, "VMs.Cell", v.Cell); err != nil {
		return err
	}
	if err := checkAddress(FleetKey, "VMs.CallerAddress", v.CallerAddress); err != nil {
		return err
	}
	if err := checkAddress(FleetKey, "VMs.PeerAddress", v.PeerAddress); err != nil {
		return err
	}
	return checkAddress(FleetKey, "VMs.OperatorAddress", v.OperatorAddress)
}
