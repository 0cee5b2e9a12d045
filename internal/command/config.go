package command

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"capersail/internal/lifecycle"
)

func (p *Program) configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Look at configuration files"}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE...",
		Short: "Check files of any kind; each problem is a line that names the file and the key",
		Args:  checkArguments(cobra.MinimumNArgs(1)),
		RunE: func(_ *cobra.Command, files []string) error {
			var all []error
			for _, f := range files {
				kind, err := p.checkFile(f)
				if err != nil {
					all = append(all, err)
					continue
				}
				fmt.Fprintf(p.Out, "%s: good (%s)\n", f, kind)
			}
			return errors.Join(all...)
		},
	})
	return c
}

// checkFile reads a file as what its keys say it is.
func (p *Program) checkFile(path string) (kind string, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if strings.HasPrefix(strings.TrimSpace(string(text)), "{") || filepath.Ext(path) == ".json" {
		getenv := func(key string) string {
			if key == "LB_CONFIG" {
				return path
			}
			return p.Getenv(key)
		}
		if _, err = lifecycle.ReadConfig(getenv, zerolog.Nop()); err != nil && !strings.Contains(err.Error(), path) {
			err = fmt.Errorf("%s: %w", path, err)
		}
		return "platform", err
	}
	var keys map[string]any
	if _, err := toml.Decode(string(text), &keys); err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	has := func(names ...string) bool {
		for _, n := range names {
			if _, ok := keys[n]; ok {
				return true
			}
		}
		return false
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
	return "", fmt.Errorf("%s: no key says what it is for: zookeeper, host and class are of the XMPP front, site, seeds and founders of members, keys of moving with a token, socket and store of time lines", path)
}
