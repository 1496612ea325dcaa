# Runs three agents of one fleet on 127.0.0.1:8081 to 8083, for the servers of `make toy`. An interrupt ends all
# of them.
set -e
folder=$(mktemp -d)
agents=
trap 'kill $agents 2>/dev/null || true; wait; rm -rf "$folder"' EXIT
trap 'exit 0' INT TERM
cat > "$folder/fleet.toml" <<END
fleet = "toy"
key = "toy toy toy toy toy"
clients_mark = true
[seeds]
agent-1 = "127.0.0.1:7941"
agent-2 = "127.0.0.1:7942"
agent-3 = "127.0.0.1:7943"
END
for number in 1 2 3; do
    sed "s/\"try-me\"/\"agent-$number\"/; s/127.0.0.1:8080/127.0.0.1:808$number/" examples/config.json \
        > "$folder/$number.json"
    PROXY_CONFIG="$folder/$number.json" PROXY_FLEET="$folder/fleet.toml" .venv/bin/python -m cartdeal &
    agents="$agents $!"
done
wait
