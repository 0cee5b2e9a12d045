// Package cluster starts several processes of the real program on loopback, puts faults
// between them by schedules that are drawn from a seed or read from a file, and reads their histories. The program is
// built with the tag faults for it; the shipped one has no seams.
package cluster

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"capersail/internal/testing/fake"
	"capersail/internal/testing/faultpoint"
)

// Build builds the program with its seams into a folder and returns its path. dir is the project's root.
func Build(dir, into string) (string, error) {
	path := filepath.Join(into, "capersail")
	cmd := exec.Command("go", "build", "-tags", "faults", "-o", path, "./cmd/capersail")
	cmd.Dir = dir
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w\n%s", err, out)
	}
	return path, nil
}

// Now is the machine's monotonic clock in ms, as histories have it.
func Now() float64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return float64(t.Sec)*1000 + float64(t.Nsec)/1e6
}

// Plan says how a ground is laid out.
type Plan struct {
	Program  string
	Dir      string
	Relays   int
	Founders int                // 0 for Relays
	Site     string             // "" for "ground"
	Keys     string             // text of the key file, "" for none
	Settings map[string]any     // changes to the example's settings
	Admin    bool               // with second addresses
	Timeline bool               // with time lines
	Alone    bool               // relays do not know each other
	OwnLooks bool               // they do, but each looks at servers for itself
	Zones    []string           // of the settings; nil for the example's
	ZoneOf   func(i int) string // a relay's, one of Zones
	Rules    faultpoint.Rules   // of each relay's process from its start on, but for the seed
	Unsafe   bool               // a protection is taken out: the shares are not expected to add up
}

// Cluster is a fleet of processes with its discovery.
type Cluster struct {
	Plan
	Discovery *fake.Discovery
	Relays    []*Relay

	at     *place
	mu     sync.Mutex
	events []faultpoint.Noted
	cut    map[[2]int]bool
	blind  map[int][]string // by relay: addresses of servers that it cannot reach
}

// Relay is one process, or the place of one.
type Relay struct {
	Name                  string
	Gossip, Listen, Admin string
	Socket                string
	dir                   string
	cmd                   *exec.Cmd
	ended                 chan struct{}
	up, stopped           bool
	rules                 faultpoint.Rules
	weight                atomic.Int64 // of what a Load brings
	members               string       // the members' file as it is in a flat fleet
}

// Weigh sets how much of what a Load brings comes to the relay, 1 for an even part.
func (r *Relay) Weigh(weight int64) { r.weight.Store(weight) }

// Up tells whether the process runs; a stopped one does.
func (r *Relay) Up() bool { return r.up }

// Log is what the relay has written to its log, over all its lives.
func (r *Relay) Log() string {
	text, _ := os.ReadFile(filepath.Join(r.dir, "log"))
	return string(text)
}

// place is what a ground has of loopback for itself: a net, and the ports that its relays have there.
type place struct {
	net                   string // 127.x.y.
	gossip, listen, admin int
	held                  []net.Listener
}

// take takes a place that nobody has. The ports are below those that are given out for a moment, and are held at the
// net's last address until the ground is closed: so neither a ground of this process or of another nor whoever has one of
// them for all addresses can be in the way of a relay.
func take() (*place, error) {
	for range 100 {
		base := 10_000 + rand.IntN(20_000)
		p := &place{net: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(256)), gossip: base, listen: base + 1, admin: base + 2}
		for port := base; port < base+3; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s254:%d", p.net, port))
			if err != nil {
				p.release()
				break
			}
			p.held = append(p.held, l)
		}
		if len(p.held) == 3 {
			return p, nil
		}
	}
	return nil, errors.New("no loopback net is free")
}

func (p *place) release() {
	for _, l := range p.held {
		l.Close()
	}
	p.held = nil
}

// New lays a ground out. No process runs yet. example is the path of the example's configuration.
func New(p Plan, example string) (*Cluster, error) {
	if p.Founders == 0 {
		p.Founders = p.Relays
	}
	if p.Site == "" {
		p.Site = "ground"
	}
	d, err := fake.NewDiscovery("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	at, err := take()
	if err != nil {
		return nil, err
	}
	g := &Cluster{Plan: p, Discovery: d, cut: map[[2]int]bool{}, blind: map[int][]string{}, at: at}
	for i := range p.Relays {
		r := &Relay{Name: fmt.Sprintf("r%d", i), dir: filepath.Join(p.Dir, fmt.Sprintf("r%d", i)), rules: p.Rules}
		r.rules.Seed = uint64(i)
		if err := os.MkdirAll(r.dir, 0o700); err != nil {
			return nil, err
		}
		host := fmt.Sprintf("%s%d:", at.net, i+1)
		r.Gossip, r.Listen, r.Admin = host+strconv.Itoa(at.gossip), host+strconv.Itoa(at.listen), host+strconv.Itoa(at.admin)
		r.Socket = filepath.Join(r.dir, "s")
		r.Weigh(1)
		g.Relays = append(g.Relays, r)
	}
	for i := range g.Relays {
		if err := g.configure(i, example); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// configure writes a relay's files.
func (g *Cluster) configure(i int, example string) error {
	text, err := os.ReadFile(example)
	if err != nil {
		return err
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	r := g.Relays[i]
	c["name"], c["listen"], c["discovery"], c["seed"] = r.Name, r.Listen, g.Discovery.Address, fmt.Sprintf("%x", i+1)
	settings := c["settings"].(map[string]any)
	settings["me"], settings["balancers"] = i, g.Plan.Relays
	if len(g.Zones) > 0 {
		settings["areas"], settings["zone"] = g.Zones, g.ZoneOf(i)
	}
	for k, v := range g.Settings {
		settings[k] = v
	}
	if text, err = json.Marshal(c); err != nil {
		return err
	}
	seeds := []string{}
	for j := range min(3, len(g.Relays)) {
		seeds = append(seeds, fmt.Sprintf("%q", g.Relays[j].Gossip))
	}
	members := fmt.Sprintf("site = %q\nbind = %q\nseeds = [%s]\nstate = %q\nsocket = %q\nfounders = %d\n", g.Site, r.Gossip, strings.Join(seeds, ", "),
		filepath.Join(r.dir, "state"), r.Socket, g.Founders)
	if g.OwnLooks {
		members += "looks = false\n"
	}
	if g.Keys != "" {
		members += fmt.Sprintf("keys = %q\n", r.file("keys"))
		if err := os.WriteFile(r.file("keys"), []byte(g.Keys), 0o600); err != nil {
			return err
		}
	}
	r.members = members
	return errors.Join(os.WriteFile(r.file("config.json"), text, 0o600), g.Flatten(i), r.apply())
}

// Reconfigure changes keys of a relay's configuration. It counts from its next start or reload on.
func (g *Cluster) Reconfigure(i int, changes map[string]any) error {
	path := g.Relays[i].file("config.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	maps.Copy(c, changes)
	if text, err = json.Marshal(c); err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

func (r *Relay) file(name string) string { return filepath.Join(r.dir, name) }

// apply hands the rules to the process: a file that is replaced at once.
func (r *Relay) apply() error {
	text, err := json.Marshal(r.rules)
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.file("faults.new"), text, 0o600); err != nil {
		return err
	}
	return os.Rename(r.file("faults.new"), r.file("faults"))
}

func (g *Cluster) note(i int, event string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events = append(g.events, faultpoint.Noted{T: Now(), Name: g.Relays[i].Name, Event: event})
}

// Start starts a relay's process.
func (g *Cluster) Start(i int) error {
	r := g.Relays[i]
	if r.up {
		return nil
	}
	log, err := os.OpenFile(r.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.cmd = exec.Command(g.Program)
	if !g.Alone {
		r.cmd.Args = append(r.cmd.Args, "--members", r.file("members.toml"))
	}
	if g.Timeline {
		r.cmd.Args = append(r.cmd.Args, "--timeline", r.file("timeline.toml"))
		if err := os.WriteFile(r.file("timeline.toml"), []byte(fmt.Sprintf("socket = %q\n", r.file("t"))), 0o600); err != nil {
			return err
		}
	}
	r.cmd.Env = append(os.Environ(), "LB_CONFIG="+r.file("config.json"), "TMPDIR="+r.dir, "CAPERSAIL_FAULTS="+r.file("faults"), "CAPERSAIL_HISTORY="+r.file("history"))
	if g.Admin {
		r.cmd.Env = append(r.cmd.Env, "LB_ADMIN="+r.Admin)
	}
	r.cmd.Stderr, r.cmd.Stdout = log, log
	g.note(i, "start")
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.up, r.stopped, r.ended = true, false, make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait()
		close(ended)
	}(r.cmd, r.ended)
	return nil
}

// Kill kills a relay's process and waits for its end.
func (g *Cluster) Kill(i int) {
	r := g.Relays[i]
	if !r.up {
		return
	}
	r.cmd.Process.Kill()
	<-r.ended
	r.up, r.stopped = false, false
	g.note(i, "kill")
}

// Term asks a relay's process to leave, and waits for its end.
func (g *Cluster) Term(i int) {
	r := g.Relays[i]
	if !r.up {
		return
	}
	g.Cont(i)
	r.cmd.Process.Signal(syscall.SIGTERM)
	<-r.ended
	r.up = false
	g.note(i, "kill")
}

// Stop stops a relay's process as it stands; Cont lets it go on.
func (g *Cluster) Stop(i int) {
	if r := g.Relays[i]; r.up && !r.stopped {
		r.cmd.Process.Signal(syscall.SIGSTOP)
		r.stopped = true
		g.note(i, "stop")
	}
}

// Cont lets a stopped process go on.
func (g *Cluster) Cont(i int) {
	if r := g.Relays[i]; r.up && r.stopped {
		g.note(i, "cont")
		r.cmd.Process.Signal(syscall.SIGCONT)
		r.stopped = false
	}
}

// Close ends all processes.
func (g *Cluster) Close() {
	for i := range g.Relays {
		g.Kill(i)
	}
	g.at.release()
}

// Rule changes a relay's faults.
func (g *Cluster) Rule(i int, change func(*faultpoint.Rules)) error {
	change(&g.Relays[i].rules)
	return g.Relays[i].apply()
}

// Cut cuts what one relay sends to another, or lets it pass again.
func (g *Cluster) Cut(from, to int, on bool) { g.cut[[2]int{from, to}] = on }

// Split cuts the fleet: relays of different parts hear nothing of each other.
func (g *Cluster) Split(part []int) {
	for a := range g.Relays {
		for b := range g.Relays {
			g.Cut(a, b, part[a] != part[b])
		}
	}
}

// Blind keeps a relay from reaching servers, by their addresses; what stands falls silent and is reset at the heal.
func (g *Cluster) Blind(i int, servers ...string) { g.blind[i] = servers }

// Apply hands the cuts to all processes.
func (g *Cluster) Apply() error {
	var all []error
	for i, r := range g.Relays {
		r.rules.Cut, r.rules.CutFrom = slices.Clone(g.blind[i]), nil
		for j, o := range g.Relays {
			if g.cut[[2]int{i, j}] {
				r.rules.Cut = append(r.rules.Cut, o.Gossip)
			}
			if g.cut[[2]int{j, i}] {
				r.rules.CutFrom = append(r.rules.CutFrom, o.Gossip)
			}
		}
		all = append(all, r.apply())
	}
	return errors.Join(all...)
}

// Heal ends all faults: cuts, loss, stops; whoever is down stays down.
func (g *Cluster) Heal() error {
	clear(g.cut)
	clear(g.blind)
	for i, r := range g.Relays {
		r.rules = faultpoint.Rules{Seed: r.rules.Seed, Rate: r.rules.Rate, StepMs: r.rules.StepMs, LeaseMs: r.rules.LeaseMs, CellRate: r.rules.CellRate}
		g.Cont(i)
	}
	return g.Apply()
}

// Histories are all lines of all processes and of the rig, in the order of their times.
func (g *Cluster) Histories() ([]faultpoint.Noted, error) {
	g.mu.Lock()
	all := slices.Clone(g.events)
	g.mu.Unlock()
	for _, r := range g.Relays {
		f, err := os.Open(r.file("history"))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		for lines := bufio.NewScanner(f); lines.Scan(); {
			var n faultpoint.Noted
			if json.Unmarshal(lines.Bytes(), &n) == nil { // the last line of a killed process may be torn
				all = append(all, n)
			}
		}
		f.Close()
	}
	slices.SortStableFunc(all, func(a, b faultpoint.Noted) int {
		switch {
		case a.T < b.T:
			return -1
		case a.T > b.T:
			return 1
		}
		return 0
	})
	return all, nil
}

// Last is the newest line of each relay's newest life.
func (g *Cluster) Last() (map[string]faultpoint.Noted, error) {
	all, err := g.Histories()
	last := map[string]faultpoint.Noted{}
	for _, n := range all {
		switch n.Event {
		case "start", "kill":
			delete(last, n.Name)
		case "":
			last[n.Name] = n
		}
	}
	return last, err
}

// Agree tells whether all relays that run hold one view of just them. settled wants every share at its target too.
func (g *Cluster) Agree(settled bool) error {
	last, err := g.Last()
	if err != nil {
		return err
	}
	var names []string
	for _, r := range g.Relays {
		if r.up {
			names = append(names, r.Name)
		}
	}
	slices.Sort(names) // as views have them
	return agree(last, names, settled)
}

// agree tells whether relays hold one view of just them.
func agree(last map[string]faultpoint.Noted, names []string, settled bool) error {
	var ref faultpoint.Noted
	for _, name := range names {
		n, ok := last[name]
		if !ok {
			return fmt.Errorf("%s has said nothing yet", name)
		}
		if ref.Name == "" {
			ref = n
		}
		if n.Epoch != ref.Epoch || n.Hash != ref.Hash {
			return fmt.Errorf("%s holds epoch %d of %v, %s epoch %d of %v", name, n.Epoch, n.Members, ref.Name, ref.Epoch, ref.Members)
		}
		if !slices.Equal(n.Members, names) {
			return fmt.Errorf("%s: epoch %d has %v; %v run", name, n.Epoch, n.Members, names)
		}
		if n.Phase != "agreed" && (settled || n.Phase != "settling") {
			return fmt.Errorf("%s is %s in epoch %d", name, n.Phase, n.Epoch)
		}
	}
	return nil
}

// Await waits until a condition holds, and returns how long that took.
func Await(within time.Duration, check func() error) (time.Duration, error) {
	began := time.Now()
	for {
		err := check()
		if took := time.Since(began); err == nil || took > within {
			if err != nil {
				err = fmt.Errorf("after %v: %w", took.Round(time.Millisecond), err)
			}
			return took, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// MostTaken is the greatest sum of shares that the relays took at any moment of the budgets of one zone, and when that was. A relay
// takes its share from its line on until the next one, until the share lapses, or until its process has ended; in a cell a near
// one in some zones and a far one in all others.
func MostTaken(all []faultpoint.Noted) (most float64, at float64) {
	held := map[string]faultpoint.Noted{}
	zones := []string{""} // one that is near to no cell
	for _, n := range all {
		for _, zone := range n.Zones {
			if !slices.Contains(zones, zone) {
				zones = append(zones, zone)
			}
		}
	}
	for _, n := range all {
		switch n.Event {
		case "":
			held[n.Name] = n
		case "kill":
			delete(held, n.Name)
		}
		for _, zone := range zones {
			sum := 0.0
			for _, h := range held {
				sum += h.Taken(zone, n.T)
			}
			if sum > most {
				most, at = sum, n.T
			}
		}
	}
	return most, at
}

// Tail are the last lines before a moment, for a failure's report.
func Tail(all []faultpoint.Noted, at, ms float64) string {
	var b strings.Builder
	for _, n := range all {
		if n.T > at-ms && n.T <= at+1 {
			fmt.Fprintf(&b, "%9.1f %s %s%s epoch %d share %.4f", n.T-at, n.Name, n.Event, n.Phase, n.Epoch, n.Share)
			if n.Plan > 0 {
				fmt.Fprintf(&b, " in %v, %.4f elsewhere, by plan %d, opened %v,", n.Zones, n.Far, n.Plan, n.Open)
			}
			fmt.Fprintf(&b, " until %+.0f %v\n", n.Until-n.T, n.Members)
		}
	}
	return b.String()
}
