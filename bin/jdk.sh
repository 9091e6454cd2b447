# Sets JAVA_HOME to a JDK 25 or later, and ROOT to the project's root. Sourced by the launchers.
find_jdk() {
  for home in "${JAVA_HOME:-}" /usr/lib/jvm/*25* "$HOME"/.sdkman/candidates/java/25* /opt/*jdk*25*; do
    if [ -x "$home/bin/javac" ] && "$home/bin/javac" -version 2>&1 | grep -Eq '^javac (2[5-9]|[3-9][0-9])'; then
      JAVA_HOME=$home
      export JAVA_HOME
      return 0
    fi
  done
  echo "error: no JDK 25 or later found; install one or set JAVA_HOME" >&2
  return 1
}
find_jdk || exit 2
ROOT=$(cd "$(dirname "$0")/.." && pwd)
