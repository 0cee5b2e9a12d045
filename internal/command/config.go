package command

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"capersail/internal/lifecycle"
)

func (p *Program) configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check configuration files"}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE...",
		Short: "Check files of any kind; print one line per problem, with the file and the key",
		Args:  validateArgs(cobra.MinimumNArgs(1)),
		RunE: func(_ *cobra.Command, files []string) error {
			var errs []error
			for _, f := range files {
				kind, err := p.checkFile(f)
				if err != nil {
					errs = append(errs, err)
					continue
				}
				fmt.Fprintf(p.Out, "%s: good (%s)\n", f, kind)
			}
			return errors.Join(errs...)
		},
	})
	return c
}

// checkFile determines a file's kind from its format and its keys, checks the file and returns the kind.
func (p *Program) checkFile(path string) (kind string, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if strings.HasPrefix(strings.TrimSpace(string(text)), "{") || filepath.Ext(path) == ".json" {
		return "platform", p.checkPlatformFile(path)
	}
	var keys map[string]any
	if _, err := toml.Decode(string(text), &keys); err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	has := func(names ...string) bool {
		return slices.ContainsFunc(names, func(name string) bool {
			_, ok := keys[name]
			return ok
		})
	}
	switch {
	case has("zookeeper", "host", "class"):
		_, err = lifecycle.ReadXMPPConfig(path)
		return "xmpp", err
	case has("site", "seeds", "founders"):
		_, err = lifecycle.ReadMembersConfig(path)
		return "members", err
	case has("keys", "servers") && !has("socket", "store"):
		_, err = lifecycle.ReadResumeConfig(path)
		return "resume", err
	case has("socket", "store", "buffer"):
		_, err = lifecycle.ReadTimelineConfig(path)
		return "timeline", err
	}
	return "", fmt.Errorf("%s: unknown kind of file; want keys of XMPP (zookeeper, host, class), members "+
		"(site, seeds, founders), resume tokens (keys, servers) or time lines (socket, store, buffer)", path)
}

// checkPlatformFile checks a file as the relay reads the file named by LB_CONFIG. An error names the file.
func (p *Program) checkPlatformFile(path string) error {
	getenv := func(key string) string {
		if key == "LB_CONFIG" {
			return path
		}
		return p.Getenv(key)
	}
	_, err := lifecycle.ReadConfig(getenv, zerolog.Nop())
	if err != nil && !strings.Contains(err.Error(), path) {
		return fmt.Errorf("%s: %w", path, err)
	}
	return err
}
