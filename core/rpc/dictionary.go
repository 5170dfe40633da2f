package rpc

// dictionaryID identifies the preset dictionary in compressed frames. Increment it with each
// change of the dictionary, so that peers detect a mismatch.
const dictionaryID = 1

// dictionary holds text that is frequent in messages. The most frequent text is at the end,
// where references to it are shortest.
var dictionary = []byte(`{"jsonrpc":"2.0","method":"distribution.status","params":{"jsonrpc":"2.0","method":"quorum.barrier",` +
	`"method":"quorum.propose","method":"quorum.snapshot","method":"discovery.sync","method":"discovery.delta",` +
	`"method":"node.hello","params":{"node":"","availability_zone":"","services":[""],"version":0,"digests":{` +
	`"method":"node.announce","params":{"node":"","svc":"","inc":1,"rev":1,"addr":"127.0.0.1:","az":"","reg":"","slots":9,"st":"starting","rs":0}` +
	`"st":"draining"},{"st":"gone"},"stale":true,"s":[{"svc":"","eps":[{"node":"","svc":"","inc":17,"rev":2,"addr":"127.0.0.1:","az":"","reg":"","slots":9,"st":"ready","rs":17` +
	`"d":[{"k":"route","n":""},{"k":"cluster","n":""}],` +
	`"u":[{"v":1,"c":{"name":"","organisation":"","team":"","service":"","retry_budget_percent":20,"slow_start_ms":5000,"eject_after":5}},` +
	`{"v":1,"r":{"name":"","organisation":"","team":"","match":{"host":"","path_prefix":"/","methods":["GET","POST"]},"cluster":"","timeout_ms":1000,"max_attempts":3,"idempotent":true}}]` +
	`{"jsonrpc":"2.0","method":"quorum.step","params":{"from":"","to":"","term":1,"type":"append","index":1,"log_term":1,"commit":1,"entries":[` +
	`{"id":1,"result":{},"jsonrpc":"2.0"}{"jsonrpc":"2.0","method":"node.ping","params":{}}{"jsonrpc":"2.0","method":"node.ack","params":{"version":1` +
	`{"jsonrpc":"2.0","method":"node.update","params":{"d":{"f":1,"t":2}}}`)
