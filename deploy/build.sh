#!/usr/bin/env bash
# Builds the files that deploy/system.toml runs: the jars and a class data sharing archive, which
# shortens the startup. All output is in the target folders of the modules.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf platform/target/lib
mvn -B -ntp -q -pl platform -am -Dmaven.test.skip=true package
cp platform/target/platform-*.jar platform/target/lib/
rm -f platform/target/platform.jsa
# The JVM rejects the archive unless the options that it depends on match those of the run command.
/usr/lib/jvm/temurin-25-jdk-amd64/bin/java -XX:ArchiveClassesAtExit=platform/target/platform.jsa \
  -Xms40m -Xmx96m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:+UseCompactObjectHeaders \
  --sun-misc-unsafe-memory-access=allow \
  -Dio.netty.machineId=02:00:00:00:00:01 -Dcom.linecorp.armeria.transportType=nio -Dcom.linecorp.armeria.warnNettyVersions=false -Dcom.linecorp.armeria.tlsEngineType=jdk -Dio.netty.jfr.enabled=false \
  -Djava.util.logging.config.file=deploy/logging.properties \
  -cp 'platform/target/lib/*' org.vanillacove.platform.PlatformMain --train \
  > platform/target/train.log 2>&1
