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
		Short: "The fleet as it goes: a terminal interface, or events through a pipe",
		Args:  checkArguments(cobra.ArbitraryArgs),
		RunE: func(_ *cobra.Command, servers []string) error {
			if f, ok := p.Out.(*os.File); !ok || !isatty.IsTerminal(f.Fd()) {
				return s.follow(p.Out, servers)
			}
			if _, err := s.readReports(servers); err != nil { // one plain line rather than an empty screen
				return err
			}
			first := screen{source: s, servers: servers, width: 100, height: 30}
			_, err := tea.NewProgram(first, tea.WithAltScreen()).Run()
			return err
		},
	}
}

// screen is the terminal interface: the fleet, or one server of it in detail, and the latest events.
type screen struct {
	source        *reportSource
	servers       []string // that are shown; none for all
	width, height int
	selected      int  // the row of the selected server
	detailed      bool // the selected server is shown in detail
	report        *report.Report
	err           error // of the newest answer, nil for a good one
}

// reportMsg is an answer.
type reportMsg struct {
	report *report.Report
	err    error
}

// reloadMsg says that it is time for the next answer.
type reloadMsg time.Time

// loadReport reads the next answer.
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

// Init is bubbletea's.
func (m screen) Init() tea.Cmd { return m.loadReport }

// Update is bubbletea's.
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
		return m.press(msg.String())
	}
	return m, nil
}

// press handles a key.
func (m screen) press(key string) (tea.Model, tea.Cmd) {
	switch key {
	case "q", "ctrl+c":
		return m, tea.Quit
	case "up", "k":
		m.selected = max(0, m.selected-1)
	case "down", "j":
		m.selected = min(max(0, len(m.serverLines())-1), m.selected+1)
	case "enter", "right", "l":
		m.detailed = true
	case "esc", "left", "h":
		m.detailed = false
	}
	return m, nil
}

// serverLines returns the servers of the newest answer, without the fleet's own line.
func (m screen) serverLines() (all []report.Server) {
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

// View is bubbletea's.
func (m screen) View() string {
	var b bytes.Buffer
	switch lines := m.serverLines(); {
	case m.report == nil:
		fmt.Fprintln(&b, "asking ...")
	case m.detailed && m.selected < len(lines):
		one := *m.report
		one.Servers = lines[m.selected : m.selected+1]
		one.WriteDrawing(&b, max(20, m.width-50))
	default:
		m.showFleet(&b)
	}
	if m.err != nil {
		fmt.Fprintln(&b, "last answer is old:", m.err)
	}
	return m.fit(b.String()) + "\nup/down choose, enter in depth, esc back, q quit"
}

// showFleet writes the rows round the selected one, and the latest events.
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

// fit cuts a text to the screen, but for its last line.
func (m screen) fit(text string) string {
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
