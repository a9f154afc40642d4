#include "programs/entry/entryprogram.h"
#include "wire/daemon.h"

int main(int argc, char **argv)
{
    const fescuesill::Daemon daemon{"fescuesill-entry",
                                    "Takes callers' requests and carries them to engines and endpoints."};
    return fescuesill::runDaemon(daemon, argc, argv, fescuesill::EntrySettings::fromFile, fescuesill::runEntry);
}
