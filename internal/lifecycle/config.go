package lifecycle

import (
	"errors"
	"net"
	"os"
	"strconv"

	"github.com/rs/zerolog"
	"github.com/valyala/fastjson"

	"capersail/internal/relay"
	"capersail/internal/wire/discovery"
	"capersail/internal/wire/simulator"
)

// Config is the configuration that the platform gives a relay.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	// Admin is the admin address for operators, from the key `admin` or from $LB_ADMIN; "" turns it off.
	Admin string
	// ListenFD is the descriptor of a listening socket for the clients' address ($LB_FD), which the
	// platform keeps open and passes to every process of the relay; -1 if the relay binds the address
	// itself.
	ListenFD   int
	Seed       uint64
	MemoryMB   int // 0 for no limit
	Sockets    int // 0 for no limit
	CachedList *discovery.EndpointList
	Deployment *relay.Deployment

	settingsText string // JSON of the settings, to detect that a new file changes them
}

// ReadConfig reads the platform's configuration: the file that LB_CONFIG names, and environment variables for
// keys that are not in the file. The error is a *ConfigError.
func ReadConfig(getenv func(string) string, log zerolog.Logger) (*Config, error) {
	object, err := readPlatformFile(getenv("LB_CONFIG"))
	if err != nil {
		return nil, err
	}
	text := func(key, variable string) string {
		if s := string(object.GetStringBytes(key)); s != "" {
			return s
		}
		return getenv(variable)
	}
	c := &Config{
		Name:      text("name", "LB_NAME"),
		Listen:    text("listen", "LB_LISTEN"),
		Discovery: text("discovery", "LB_DISCOVERY"),
		Admin:     text("admin", "LB_ADMIN"),
		MemoryMB:  object.GetInt("limits", "memory_mb"),
		Sockets:   object.GetInt("limits", "sockets"),
	}
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	if c.ListenFD, err = readDescriptor(getenv("LB_FD")); err != nil {
		return nil, err
	}
	if c.Seed, err = readSeed(string(object.GetStringBytes("seed"))); err != nil {
		return nil, err
	}
	if err := c.checkLimits(object); err != nil {
		return nil, err
	}
	if err := c.readSettings(object.Get("settings")); err != nil {
		return nil, err
	}
	if c.CachedList, err = readCachedList(object.Get("known"), log); err != nil {
		return nil, err
	}
	return c, nil
}

// readPlatformFile reads the file that LB_CONFIG names.
func readPlatformFile(path string) (*fastjson.Value, error) {
	if path == "" {
		return nil, keyError("LB_CONFIG", "not set: set it to the path of the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, keyError("LB_CONFIG", "%w", err)
	}
	object, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, keyError("LB_CONFIG", "%s: %w", path, err)
	}
	if object.Type() != fastjson.TypeObject {
		return nil, keyError("LB_CONFIG", "%s: the file is not a JSON object", path)
	}
	return object, nil
}

// checkAddresses fails for an address that is not host:port. The admin address may be missing.
func (c *Config) checkAddresses() error {
	for _, a := range []struct {
		key, value string
		optional   bool
	}{
		{key: "listen", value: c.Listen},
		{key: "discovery", value: c.Discovery},
		{key: "admin", value: c.Admin, optional: true},
	} {
		if a.optional && a.value == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return keyError(a.key, "%w", err)
		}
	}
	return nil
}

// readDescriptor parses the value of LB_FD, and returns -1 if it is empty.
func readDescriptor(text string) (int, error) {
	if text == "" {
		return -1, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 0 {
		return -1, keyError("LB_FD", "%q is not a file descriptor: want an integer from 0 on", text)
	}
	return fd, nil
}

// readSeed parses a hexadecimal number, and returns 0 for an empty text.
func readSeed(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, keyError("seed", "%q is not a hexadecimal number of at most 64 bits", text)
	}
	return seed, nil
}

// checkLimits fails for a limit that is not a number from 0 on, and for a limit on descriptors that is too
// low to serve clients.
func (c *Config) checkLimits(object *fastjson.Value) error {
	for _, key := range []string{"cores", "memory_mb", "sockets"} {
		limit := object.Get("limits", key)
		if limit != nil && (limit.Type() != fastjson.TypeNumber || limit.GetFloat64() < 0) {
			return keyError("limits."+key, "%s is not a number from 0 on", limit)
		}
	}
	minimum := minSockets
	if c.Admin != "" {
		minimum += adminSockets
	}
	if c.Sockets > 0 && c.Sockets < minimum {
		return keyError("limits.sockets", "%d are too few: at least %d are needed", c.Sockets, minimum)
	}
	return nil
}

var (
	errNotObject = errors.New("missing or not a JSON object")
	errNoClasses = errors.New("at least one class is needed")
)

// readSettings decodes the settings into the deployment.
func (c *Config) readSettings(settings *fastjson.Value) error {
	if settings == nil || settings.Type() != fastjson.TypeObject {
		return &ConfigError{Key: "settings", Err: errNotObject}
	}
	if len(settings.GetArray("classes")) == 0 {
		return &ConfigError{Key: "settings.classes", Err: errNoClasses}
	}
	c.settingsText = settings.String()
	c.Deployment = simulator.DecodeSettings(settings)
	return nil
}

// readCachedList decodes the last endpoint list that the platform knew. It returns an empty list if there is
// none.
func readCachedList(known *fastjson.Value, log zerolog.Logger) (*discovery.EndpointList, error) {
	if known == nil {
		return &discovery.EndpointList{}, nil
	}
	list, err := discovery.ParseList(known.String(), log)
	if err != nil {
		return nil, &ConfigError{Key: "known", Err: err}
	}
	return list, nil
}
