package settings

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log     string `json:"log"`
	List    string `json:"list"`
	Cloud   string `json:"cloud"`
	Weights string `json:"weights"`
}

func (s Platform) check(c *checker) {
	c.url("platform.log", s.Log)
	c.url("platform.list", s.List)
	c.url("platform.cloud", s.Cloud)
	c.url("platform.weights", s.Weights)
}
