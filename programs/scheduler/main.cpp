#include "programs/scheduler/schedulerprogram.h"
#include "wire/daemon.h"

int main(int argc, char **argv)
{
    const fescuesill::Daemon daemon{"fescuesill-scheduler", "Decides for the cells that this host owns."};
    return fescuesill::runDaemon(daemon, argc, argv, fescuesill::SchedulerSettings::fromFile, fescuesill::runScheduler);
}
