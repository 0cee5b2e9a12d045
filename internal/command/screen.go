package command

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"capersail/internal/observe/report"
	"capersail/internal/observe/timeline"
)

func (p *Program) watchCommand(s *reportSource) *cobra.Command {
	return &cobra.Command{
		Use:   "watch [SERVER...]",
		Short: "Watch the fleet in a terminal interface; print events if the output is no terminal",
		Args:  validateArgs(cobra.ArbitraryArgs),
		RunE: func(_ *cobra.Command, servers []string) error {
			if f, ok := p.Out.(*os.File); !ok || !isatty.IsTerminal(f.Fd()) {
				return s.follow(p.Out, servers)
			}
			if _, err := s.readReports(servers); err != nil { // reported before the screen opens, as one line
				return err
			}
			first := screen{source: s, servers: servers, width: 100, height: 30}
			_, err := tea.NewProgram(first, tea.WithAltScreen()).Run()
			return err
		},
	}
}

// screen is the model of the terminal interface: the fleet with its latest events, or one server in detail.
type screen struct {
	source        *reportSource
	servers       []string // names of the servers to show; none for all
	width, height int
	selected      int  // index of the selected server in listedServers
	showDetail    bool // the selected server is shown in detail
	report        *report.Report
	err           error // error of the latest query, nil if it succeeded
}

// reportMsg carries the result of a query.
type reportMsg struct {
	report *report.Report
	err    error
}

// reloadMsg triggers the next query.
type reloadMsg time.Time

// loadReport queries the report source and returns the result as a reportMsg.
func (m screen) loadReport() tea.Msg {
	all, err := m.source.readReports(m.servers)
	if err != nil {
		return reportMsg{err: err}
	}
	return reportMsg{report: all[0]}
}

func scheduleReload() tea.Cmd {
	return tea.Tick(time.Second, func(t time.Time) tea.Msg { return reloadMsg(t) })
}

// Init implements tea.Model: it starts the first query.
func (m screen) Init() tea.Cmd { return m.loadReport }

// Update implements tea.Model: it handles window sizes, reports, the reload timer and keys.
func (m screen) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		m.width = msg.Width
		m.height = msg.Height
	case reportMsg:
		m.err = msg.err
		if msg.report != nil {
			m.report = msg.report
		}
		return m, scheduleReload()
	case reloadMsg:
		return m, m.loadReport
	case tea.KeyMsg:
		return m.handleKey(msg.String())
	}
	return m, nil
}

// handleKey handles a key press.
func (m screen) handleKey(key string) (tea.Model, tea.Cmd) {
	switch key {
	case "q", "ctrl+c":
		return m, tea.Quit
	case "up", "k":
		m.selected = max(0, m.selected-1)
	case "down", "j":
		m.selected = min(max(0, len(m.listedServers())-1), m.selected+1)
	case "enter", "right", "l":
		m.showDetail = true
	case "esc", "left", "h":
		m.showDetail = false
	}
	return m, nil
}

// listedServers returns the servers of the latest report, without the entry that stands for the whole fleet.
func (m screen) listedServers() (all []report.Server) {
	if m.report == nil {
		return nil
	}
	for _, s := range m.report.Servers {
		if s.Name != timeline.FleetName {
			all = append(all, s)
		}
	}
	return all
}

// View implements tea.Model: it renders the fleet or the selected server, and a line that explains the keys.
func (m screen) View() string {
	var b bytes.Buffer
	switch servers := m.listedServers(); {
	case m.report == nil:
		fmt.Fprintln(&b, "loading ...")
	case m.showDetail && m.selected < len(servers):
		detail := *m.report
		detail.Servers = servers[m.selected : m.selected+1]
		detail.WriteDrawing(&b, max(20, m.width-50))
	default:
		m.showFleet(&b)
	}
	if m.err != nil {
		fmt.Fprintln(&b, "the latest query failed, so this report is old:", m.err)
	}
	return m.truncate(b.String()) + "\nup/down select, enter details, esc back, q quit"
}

// showFleet writes the rows around the selected server, and the latest events.
func (m screen) showFleet(w io.Writer) {
	const aroundRows, latestEvents = 12, 6
	fmt.Fprintf(w, "%s  %s\n", m.report.RelayName, report.FormatClock(m.report.At))
	var table bytes.Buffer
	m.report.WriteList(&table)
	rows := strings.Split(strings.TrimRight(table.String(), "\n"), "\n")
	height := max(3, m.height-aroundRows)
	first := max(0, min(m.selected-height/2, len(rows)-1-height))
	fmt.Fprintln(w, "  "+rows[0])
	for i, row := range rows[1:] {
		switch {
		case i < first || i >= first+height:
		case i == m.selected:
			fmt.Fprintln(w, "> "+row)
		default:
			fmt.Fprintln(w, "  "+row)
		}
	}
	events := m.report.Events()
	fmt.Fprintln(w, "\nevents")
	for _, e := range events[max(0, len(events)-latestEvents):] {
		fmt.Fprintln(w, "  "+report.FormatEvent(e))
	}
}

// truncate cuts a text to the screen's width and height, less one line for the explanation of the keys.
func (m screen) truncate(text string) string {
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	if len(lines) > m.height-1 {
		lines = lines[:m.height-1]
	}
	for i, line := range lines {
		if r := []rune(line); len(r) > m.width {
			lines[i] = string(r[:m.width])
		}
	}
	return strings.Join(lines, "\n")
}
