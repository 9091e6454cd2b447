# Defines a function that packages a module and the modules it depends on if a source is newer than
# the last build. Sourced by the launchers.
build_module() {
  local stamp=$ROOT/$1/target/.built
  if [ ! -e "$stamp" ] || [ -n "$(find "$ROOT" -path '*/target' -prune -o \
      \( -path '*/src/main/*' -o -name pom.xml \) -newer "$stamp" -type f -print -quit)" ]; then
    echo "building $1 ..." >&2
    if ! (cd "$ROOT" && mvn -B -ntp -q -pl "$1" -am -Dmaven.test.skip=true package) > "$ROOT/.build.log" 2>&1; then
      cat "$ROOT/.build.log" >&2
      echo "error: the build of $1 failed" >&2
      exit 2
    fi
    touch "$stamp"
  fi
}
