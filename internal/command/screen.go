package command

import (
	"bytes"
	"fmt"
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
	return &cobra.Command{Use: "watch [SERVER...]", Short: "The fleet as it goes: a terminal interface, or events through a pipe",
		Args: checkArguments(cobra.ArbitraryArgs), RunE: func(_ *cobra.Command, servers []string) error {
			if f, ok := p.Out.(*os.File); !ok || !isatty.IsTerminal(f.Fd()) {
				return s.follow(p.Out, servers)
			}
			if _, err := s.readReports(servers); err != nil { // one plain line rather than an empty screen
				return err
			}
			_, err := tea.NewProgram(screen{source: s, servers: servers, width: 100, height: 30}, tea.WithAltScreen()).Run()
			return err
		}}
}

// screen is the terminal interface: the fleet, one server of it in depth, and events.
type screen struct {
	source        *reportSource
	servers       []string
	width, height int
	selected      int  // which server is chosen
	detailed      bool // shown in depth
	report        *report.Report
	err           error
}

type reportMsg struct {
	report *report.Report
	err    error
}

type reloadMsg time.Time

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
		m.width, m.height = msg.Width, msg.Height
	case reportMsg:
		if m.err = msg.err; msg.report != nil {
			m.report = msg.report
		}
		return m, scheduleReload()
	case reloadMsg:
		return m, m.loadReport
	case tea.KeyMsg:
		switch msg.String() {
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
	}
	return m, nil
}

func (m screen) serverLines() (all []report.Server) {
	if m.report != nil {
		for _, s := range m.report.Servers {
			if s.Name != timeline.FleetName {
				all = append(all, s)
			}
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
		fmt.Fprintf(&b, "%s  %s\n", m.report.Relay, report.FormatClock(m.report.At))
		var table bytes.Buffer
		m.report.WriteList(&table)
		rows := strings.Split(strings.TrimRight(table.String(), "\n"), "\n")
		room := max(3, m.height-12)
		first := max(0, min(m.selected-room/2, len(rows)-1-room))
		for i, row := range rows {
			switch {
			case i == 0:
				fmt.Fprintln(&b, "  "+row)
			case i-1 < first || i-1 >= first+room:
			case i-1 == m.selected:
				fmt.Fprintln(&b, "> "+row)
			default:
				fmt.Fprintln(&b, "  "+row)
			}
		}
		events := m.report.Events()
		fmt.Fprintln(&b, "\nevents")
		for _, e := range events[max(0, len(events)-6):] {
			fmt.Fprintln(&b, "  "+report.FormatEvent(e))
		}
	}
	if m.err != nil {
		fmt.Fprintln(&b, "last answer is old:", m.err)
	}
	out := strings.Split(strings.TrimRight(b.String(), "\n"), "\n")
	if len(out) > m.height-1 {
		out = out[:m.height-1]
	}
	for i, line := range out {
		if r := []rune(line); len(r) > m.width {
			out[i] = string(r[:m.width])
		}
	}
	return strings.Join(out, "\n") + "\nup/down choose, enter in depth, esc back, q quit"
}
