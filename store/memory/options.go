package memory

// Option sets up a Service.
type Option func(*Service)

// History bounds the changes that a watch can resume over, by their number and their bytes.
func History(changes, valueBytes int) Option {
	return func(s *Service) { s.maxHistory, s.maxHistoryBytes = changes, valueBytes }
}
